import {readFileSync} from 'node:fs';
import {ClientFailure} from '../client_failure.js';
import {ExitCode} from '../exit_code.js';
import type {Flags} from '../flags.js';

type Builder = (subject: string, flags: Flags) => object;

const BUILDERS: Readonly<Record<string, Builder>> = {
  'set-workspace': file => ({workspace: readJson(file)}),
  'allow-version': (version, {workspace, task, forbid}) => ({
    version,
    workspace,
    task,
    allowed: !forbid,
  }),
  'roll-out': (version, {cost, strength, steps, exposure}) => ({
    version,
    cost,
    strength,
    exposure,
    steps: steps?.split(',').map(Number),
  }),
  retire: version => ({version}),
  withdraw: version => ({version}),
  'resume-roll-out': version => ({version}),
  'move-workspace': (workspace, {to}) => ({workspace, to}),
  'drain-host': host => ({host}),
  'drain-runner': runner => ({runner}),
  undrain: (_subject, {host, runner, place}) => ({host, runner, place}),
  'hand-over-place': (place, {to}) => ({place, to}),
  'set-limit': (workspace, {rate, burst, none}) => ({
    workspace,
    limit: none ? null : {requestsPerSecond: rate, burst: burst ?? rate},
  }),
};

/** Builds an intent from the arguments and options of the command line; the host validates its fields. */
export function parseIntent(args: readonly string[], flags: Flags): object {
  const [kind, subject] = args;
  const builder = Object.hasOwn(BUILDERS, kind ?? '')
    ? BUILDERS[kind]
    : undefined;
  if (!builder) {
    throw new ClientFailure(
      `unknown kind of intent ${kind ?? '(none)'}; use one of ${Object.keys(BUILDERS).join(', ')}`,
      ExitCode.USAGE,
    );
  }
  if (subject === undefined && kind !== 'undrain') {
    throw new ClientFailure(
      `${kind} needs a subject; see bayspool intent --help`,
      ExitCode.USAGE,
    );
  }
  return {kind, ...builder(subject, flags)};
}

function readJson(file: string): unknown {
  try {
    return JSON.parse(readFileSync(file, 'utf8'));
  } catch (error) {
    throw new ClientFailure(
      `cannot read ${file} as JSON: ${error instanceof Error ? error.message : error}`,
      ExitCode.USAGE,
    );
  }
}
