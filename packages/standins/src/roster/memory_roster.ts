import type {Roster, RosterEntry} from '@bayspool/decisions';
import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  /** How late the list is, in ms. */
  readonly lagMs?: number;
}

interface Change {
  readonly at: number;
  readonly entries: readonly RosterEntry[];
}

/** The platform's list of hosts and runners; it shows what was true `lagMs` ago. */
export class MemoryRoster implements Roster {
  private changes: Change[] = [{at: 0, entries: []}];

  constructor(private readonly options: Options) {}

  set(entries: readonly RosterEntry[]): void {
    this.changes.push({at: this.options.clock.now(), entries});
  }

  async list(): Promise<RosterEntry[]> {
    const until = this.options.clock.now() - (this.options.lagMs ?? 0);
    const visible =
      this.changes.findLast(change => change.at <= until) ?? this.changes[0];
    return [...visible.entries];
  }
}
