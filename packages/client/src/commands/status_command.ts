import type {Command} from '../command.js';
import {ExitCode} from '../exit_code.js';
import {formatTable} from '../output/format_table.js';

/** The fields of `GET /status` that the command prints. */
interface FleetStatus {
  readonly host: string;
  readonly place: string;
  readonly offset: number;
  readonly configuration_age_ms: number | null;
  readonly places: readonly {
    place: string;
    handed_over_to: string | null;
    running: number;
    offsets: Record<string, number>;
    hosts: readonly {id: string; leaving: boolean}[];
  }[];
  readonly versions: readonly {
    id: string;
    state: string;
    step: number | null;
    steps: number | null;
    suspect: string | null;
    evidence: {good: number; bad: number; open: number} | null;
  }[];
  readonly runners: readonly {
    id: string;
    place: string;
    fit: boolean;
    drained: boolean;
    in_flight: number;
    load: number;
    versions: string[];
  }[];
}

/** `bayspool status`. */
export const statusCommand: Command = {
  name: 'status',
  summary: 'show places, hosts, versions and runners as one host sees them',
  help: `
  Usage
    bayspool status [--json]
`,
  async run({api, flags, print}) {
    const status = await api.get<FleetStatus>('status');
    print(flags.json ? JSON.stringify(status) : describe(status));
    return ExitCode.OK;
  },
};

function describe(status: FleetStatus): string {
  const age =
    status.configuration_age_ms === null
      ? 'never read to the end'
      : `${(status.configuration_age_ms / 1_000).toFixed(1)} s old`;
  return [
    `Seen from ${status.host} in ${status.place}: configuration at offset ${status.offset}, ${age}`,
    '',
    formatTable(
      ['PLACE', 'HOSTS', 'AT OFFSET', 'RUNNING', 'HANDED OVER TO'],
      status.places.map(
        ({place, hosts, offsets, running, handed_over_to: to}) => [
          place,
          hosts.map(formatHost).join(' '),
          Object.entries(offsets)
            .map(([offset, count]) => `${offset} (${count})`)
            .join(' '),
          String(running),
          to ?? '-',
        ],
      ),
    ),
    '',
    formatTable(
      ['VERSION', 'STATE', 'GOOD', 'BAD', 'UNRATED', 'NOTE'],
      status.versions.map(toVersionRow),
    ),
    '',
    formatTable(
      ['RUNNER', 'PLACE', 'STATE', 'LOAD', 'VERSIONS'],
      status.runners.map(({id, place, fit, drained, load, versions}) => [
        id,
        place,
        drained ? 'drained' : fit ? 'fit' : 'unfit',
        String(load),
        versions.join(' '),
      ]),
    ),
  ].join('\n');
}

function formatHost({id, leaving}: {id: string; leaving: boolean}): string {
  return leaving ? `${id} (leaving)` : id;
}

function toVersionRow({
  id,
  state,
  step,
  steps,
  suspect,
  evidence,
}: FleetStatus['versions'][number]): string[] {
  const shown = step === null ? state : `${state} ${step}/${steps}`;
  const counts = evidence
    ? [evidence.good, evidence.bad, evidence.open].map(String)
    : ['-', '-', '-'];
  return [id, shown, ...counts, suspect ?? ''];
}
