import type {RunnerDirectory} from '../discovery/runner_directory.js';
import {getIncarnationId} from '../runners/get_incarnation_id.js';
import type {StatedAvailabilityRegistry} from '../runners/stated_availability_registry.js';

interface Options {
  readonly directory: RunnerDirectory;
  readonly availabilities: StatedAvailabilityRegistry;
}

/** Exchanges with other hosts which runners stated that they are leaving while their entries do not say so. */
export class LeavingExchange {
  constructor(private readonly options: Options) {}

  /** Lists the incarnations of runners that this host knows to be leaving. */
  listLeavingIncarnations(): string[] {
    const {directory, availabilities} = this.options;
    const incarnations: string[] = [];
    for (const id of availabilities.listLeavingRunners()) {
      const runner = directory.get(id);
      if (!runner?.availability.isLeaving || runner.entry.isDraining) continue;
      incarnations.push(getIncarnationId(runner.entry));
    }
    return incarnations;
  }

  /** Applies what another host knows. */
  applyPeerLeaving(incarnations: readonly string[]): void {
    if (incarnations.length === 0) return;
    const leaving = new Set(incarnations);
    for (const {entry, availability} of this.options.directory.all())
      if (leaving.has(getIncarnationId(entry)))
        availability.noteLeavingAtPeer();
  }
}
