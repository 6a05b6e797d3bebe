import type {RunnerEntry} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {AvailabilityChange} from './availability_change.js';
import {getIncarnationId} from './get_incarnation_id.js';
import {StatedAvailability} from './stated_availability.js';

interface Options {
  readonly clock: Clock;
  readonly onChange: (entry: RunnerEntry, change: AvailabilityChange) => void;
}

interface KeptAvailability {
  /** The id of the runner. */
  readonly runner: string;
  readonly availability: StatedAvailability;
  /** When it was last asked for or changed, on this host's clock. */
  usedAt: number;
}

/** How long a statement outlives the runner's entry, in ms: longer than any outage of the store in which entries lapse. */
const RETENTION_MS = 600_000;

/**
 * Keeps what runners state of their availability by incarnation, so that it outlives their entries:
 * an entry may lapse with the store and return while the runner still means what it stated.
 */
export class StatedAvailabilityRegistry {
  /** By incarnation. */
  private readonly kept = new Map<string, KeptAvailability>();

  constructor(private readonly options: Options) {}

  /** Returns the availability of the incarnation to which an entry belongs; the same one each time. */
  get(entry: RunnerEntry): StatedAvailability {
    const known = this.kept.get(getIncarnationId(entry));
    if (known) {
      known.usedAt = this.options.clock.now();
      return known.availability;
    }
    const {clock, onChange} = this.options;
    const availability: StatedAvailability = new StatedAvailability({
      clock,
      onChange: change => {
        this.keep(entry, availability);
        onChange(entry, change);
      },
    });
    this.keep(entry, availability);
    return availability;
  }

  /** Lists the ids of runners of which an incarnation is leaving. */
  listLeavingRunners(): ReadonlySet<string> {
    const ids = new Set<string>();
    for (const {runner, availability} of this.kept.values())
      if (availability.isLeaving) ids.add(runner);
    return ids;
  }

  private keep(entry: RunnerEntry, availability: StatedAvailability): void {
    const usedAt = this.options.clock.now();
    const kept = {runner: entry.id, availability, usedAt};
    this.kept.set(getIncarnationId(entry), kept);
    for (const [other, {usedAt: at}] of this.kept)
      if (usedAt - at > RETENTION_MS) this.kept.delete(other);
  }
}
