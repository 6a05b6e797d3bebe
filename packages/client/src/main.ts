#!/usr/bin/env node
import {createInterface} from 'node:readline/promises';
import meow from 'meow';
import {ClientFailure} from './client_failure.js';
import {commands} from './commands.js';
import {ExitCode} from './exit_code.js';
import type {Flags} from './flags.js';
import {OperatorApi} from './operator_api.js';

const HELP = `
  The operators' command line of bayspool.

  Usage
    bayspool COMMAND [options]

  Commands
${commands.map(({name, summary}) => `    ${name.padEnd(9)} ${summary}`).join('\n')}

  Options
    --address IP:PORT  the operator door of a host
                       (else BAYSPOOL_ADDRESS, else 127.0.0.1:8081)
    --json             print JSON for programs
    --help             help, also for each command

  The operator's key is taken from BAYSPOOL_KEY.

  Exit codes
    0 done   1 the host was not reached or refused   2 wrong usage
    3 rejected   4 not known or not done yet   5 not confirmed
`;

const cli = meow(HELP, {
  importMeta: import.meta,
  autoHelp: false,
  description: false,
  flags: {
    address: {
      type: 'string',
      default: process.env.BAYSPOOL_ADDRESS ?? '127.0.0.1:8081',
    },
    json: {type: 'boolean', default: false},
    yes: {type: 'boolean', default: false},
    help: {type: 'boolean', default: false},
    out: {type: 'string'},
    workspace: {type: 'string'},
    task: {type: 'string'},
    to: {type: 'string'},
    host: {type: 'string'},
    runner: {type: 'string'},
    place: {type: 'string'},
    cost: {type: 'number'},
    strength: {type: 'number'},
    steps: {type: 'string'},
    exposure: {type: 'number'},
    rate: {type: 'number'},
    burst: {type: 'number'},
    configuration: {type: 'string'},
    inForce: {type: 'string'},
    strict: {type: 'boolean', default: false},
    forbid: {type: 'boolean', default: false},
    none: {type: 'boolean', default: false},
    timeout: {type: 'number', default: 60},
  },
});

async function ask(question: string): Promise<boolean> {
  if (!process.stdin.isTTY) {
    console.error('There is no terminal to ask at; confirm with --yes.');
    return false;
  }
  const terminal = createInterface({
    input: process.stdin,
    output: process.stderr,
  });
  const answer = await terminal.question(`${question} [y/N] `);
  terminal.close();
  return /^y(es)?$/i.test(answer.trim());
}

async function run(): Promise<ExitCode> {
  const [name, ...args] = cli.input;
  const command = commands.find(candidate => candidate.name === name);
  if (!command) {
    console.log(HELP);
    return cli.flags.help || name === undefined ? ExitCode.OK : ExitCode.USAGE;
  }
  if (cli.flags.help) {
    console.log(command.help);
    return ExitCode.OK;
  }
  const flags: Flags = {...cli.flags, key: process.env.BAYSPOOL_KEY ?? ''};
  const api = new OperatorApi({address: flags.address, key: flags.key});
  return command.run({
    api,
    flags,
    args,
    print: text => console.log(text),
    ask,
  });
}

try {
  process.exitCode = await run();
} catch (error) {
  const failure =
    error instanceof ClientFailure
      ? error
      : new ClientFailure(String(error), ExitCode.FAILED);
  console.error(`bayspool: ${failure.message}`);
  process.exitCode = failure.exitCode;
}
