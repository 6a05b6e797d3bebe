import {setTimeout as wait} from 'node:timers/promises';
import {ClientFailure} from '../client_failure.js';
import type {Command} from '../command.js';
import {ExitCode} from '../exit_code.js';
import {formatTable} from '../output/format_table.js';

/** The fields of `GET /intents/<id>` that the command reads. */
interface IntentStatus {
  readonly kind: string;
  readonly subject: string;
  readonly accepted: boolean;
  readonly offset: number;
  readonly reason?: string;
  readonly done: boolean;
  readonly running: number;
  readonly waits_for: readonly string[];
  readonly places: readonly {
    place: string;
    hosts: number;
    hosts_in_force: number;
    cut_off: boolean;
  }[];
}

const POLL_INTERVAL_MS = 500;
const MS_PER_SECOND = 1_000;

/** `bayspool watch ID`. */
export const watchCommand: Command = {
  name: 'watch',
  summary: 'follow an intent until it is done',
  help: `
  Usage
    bayspool watch ID [--timeout SECONDS] [--json]

  Ends with 0 when the intent is done, 3 when it was rejected, 4 when it is not
  done in time or not known.
`,
  async run({api, flags, args, print}) {
    const [id] = args;
    if (id === undefined)
      throw new ClientFailure(
        'name the id of the intent; see bayspool watch --help',
        ExitCode.USAGE,
      );
    let lastText = '';
    for (
      let waitedMs = 0;
      waitedMs < flags.timeout * MS_PER_SECOND;
      waitedMs += POLL_INTERVAL_MS
    ) {
      const status = await api
        .get<IntentStatus>(`intents/${encodeURIComponent(id)}`)
        .catch(ignoreUnknownIntent);
      const text = status
        ? describe(status)
        : 'The intent is not in the log yet.';
      if (!flags.json && text !== lastText) print(text);
      lastText = text;
      if (status?.done) {
        if (flags.json) print(JSON.stringify(status));
        return status.accepted ? ExitCode.OK : ExitCode.REJECTED;
      }
      await wait(POLL_INTERVAL_MS);
    }
    if (flags.json) print(JSON.stringify({done: false, id}));
    return ExitCode.UNKNOWN;
  },
};

function ignoreUnknownIntent(error: unknown): undefined {
  if (error instanceof ClientFailure && error.message.startsWith('no intent'))
    return undefined;
  throw error;
}

function describe(status: IntentStatus): string {
  if (!status.accepted)
    return `${status.kind} ${status.subject}: rejected: ${status.reason}`;
  const rows = status.places.map(
    ({place, hosts, hosts_in_force: inForce, cut_off: cutOff}) => [
      place,
      `${inForce} of ${hosts}`,
      cutOff ? 'not heard of' : '',
    ],
  );
  const state = status.done
    ? 'done'
    : `waits for ${status.waits_for.join('; ')}`;
  return `${status.kind} ${status.subject}: ${state}\n${formatTable(['PLACE', 'IN FORCE', 'NOTE'], rows)}`;
}
