import type {Command} from '../command.js';
import {ExitCode} from '../exit_code.js';
import {formatTable} from '../output/format_table.js';

/** One entry of `GET /intents`. */
interface IntentEntry {
  readonly intentId: string;
  readonly kind: string;
  readonly subject: string;
  readonly accepted: boolean;
  readonly by: string;
}

const MAX_ROWS = 20;

/** `bayspool intents`. */
export const intentsCommand: Command = {
  name: 'intents',
  summary: 'list the newest intents and their verdicts',
  help: `
  Usage
    bayspool intents [--json]
`,
  async run({api, flags, print}) {
    const {intents} = await api.get<{intents: IntentEntry[]}>('intents');
    const rows = intents
      .slice(0, MAX_ROWS)
      .map(({intentId, kind, subject, accepted, by}) => [
        intentId,
        kind,
        subject,
        accepted ? 'accepted' : 'rejected',
        by,
      ]);
    print(
      flags.json
        ? JSON.stringify({intents})
        : formatTable(['ID', 'KIND', 'SUBJECT', 'VERDICT', 'BY'], rows),
    );
    return ExitCode.OK;
  },
};
