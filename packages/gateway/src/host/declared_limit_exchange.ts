import type {RunnerEntry} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {RunnerDirectory} from '../discovery/runner_directory.js';
import type {EventLog} from '../observability/event_log.js';
import {isUrgentLimit} from '../runners/is_urgent_limit.js';
import type {LimitChange} from '../runners/limit_change.js';
import type {LimitObservation} from '../runners/limit_observation.js';
import type {Runner} from '../runners/runner.js';
import {getIncarnationId} from '../runners/get_incarnation_id.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly directory: RunnerDirectory;
}

/** Exchanges declared limits with other hosts; the newest observation of each runner's limit applies. */
export class DeclaredLimitExchange {
  private readonly urgentListeners: Array<(change: LimitChange) => void> = [];
  /** Runners that have ever declared a limit, by id: they are few, and each exchange reads them. */
  private readonly declaringRunners = new Map<string, Runner>();

  constructor(private readonly options: Options) {}

  /** Calls the listener when a runner declares a limit for the first time or a much lower one than before. */
  onUrgentChange(listener: (change: LimitChange) => void): void {
    this.urgentListeners.push(listener);
  }

  /** Records a change of a runner's declared limit. */
  recordChange({id: runner, service}: RunnerEntry, change: LimitChange): void {
    const {perSecond, previous, malformed: text, isFromPeer} = change;
    const {log} = this.options;
    if (text !== undefined)
      return log.write('runner_limit_malformed', {runner, service, text});
    const source = isFromPeer ? 'another host' : 'its answer';
    const ageMs = Math.round(change.ageMs);
    const line = {runner, service, perSecond, previous, source, ageMs};
    this.track(runner);
    log.write('runner_limit_changed', line);
    if (!isUrgentLimit(perSecond, previous)) return;
    for (const listener of this.urgentListeners) listener(change);
  }

  /** Lists the declared limits that this host knows. */
  listObservations(): LimitObservation[] {
    const observations: LimitObservation[] = [];
    for (const {entry, limit} of this.declaringRunners.values()) {
      const {perSecond, ageMs} = limit;
      observations.push({
        runner: getIncarnationId(entry),
        perSecond,
        ageMs: Math.ceil(ageMs),
      });
    }
    return observations;
  }

  /**
   * Applies another host's observations.
   *
   * @param sinceMs upper bound of the time since that host sent them, in ms; 0 if unknown
   */
  applyPeerObservations(
    observations: readonly LimitObservation[],
    sinceMs: number,
  ): void {
    if (observations.length === 0) return;
    const asOf = this.options.clock.now() - sinceMs;
    const byIncarnation = new Map(observations.map(one => [one.runner, one]));
    for (const {entry, limit} of this.options.directory.all()) {
      const observation = byIncarnation.get(getIncarnationId(entry));
      if (observation)
        limit.updateFromPeer(observation.perSecond, asOf - observation.ageMs);
    }
  }

  /** Whether a host with these observations has to learn immediately what this host knows. */
  isUrgentFor(known: readonly LimitObservation[]): boolean {
    if (this.declaringRunners.size === 0) return false;
    const byIncarnation = new Map(known.map(one => [one.runner, one]));
    return [...this.declaringRunners.values()].some(({entry, limit}) => {
      if (limit.perSecond === undefined) return false;
      const observation = byIncarnation.get(getIncarnationId(entry));
      if (observation && observation.ageMs <= limit.ageMs) return false;
      return isUrgentLimit(limit.perSecond, observation?.perSecond);
    });
  }

  /** Removes a runner that is gone. */
  removeRunner(id: string): void {
    this.declaringRunners.delete(id);
  }

  private track(id: string): void {
    const runner = this.options.directory.get(id);
    if (runner) this.declaringRunners.set(id, runner);
  }
}
