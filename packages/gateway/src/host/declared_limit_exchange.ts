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

/** Limits that runners name, as hosts tell them to each other: of what several heard of a runner the newest counts. */
export class DeclaredLimitExchange {
  private readonly urgentListeners: Array<(change: LimitChange) => void> = [];
  /** Runners that ever named a limit, by their ids: few, and asked for with each exchange. */
  private readonly declaringRunners = new Map<string, Runner>();

  constructor(private readonly options: Options) {}

  /** Calls the listener when a runner is found to be in need, or in much greater need than before. */
  onUrgentChange(listener: (change: LimitChange) => void): void {
    this.urgentListeners.push(listener);
  }

  /** Notes that what is known of a runner's limit has changed. */
  recordChange({id: runner, service}: RunnerEntry, change: LimitChange): void {
    const {perSecond, previous, malformed: text, isFromPeer: isTold} = change;
    const {log} = this.options;
    if (text !== undefined)
      return log.write('runner_limit_malformed', {runner, service, text});
    const source = isTold ? 'another host' : 'its answer';
    const ageMs = Math.round(change.ageMs);
    const line = {runner, service, perSecond, previous, source, ageMs};
    this.track(runner);
    log.write('runner_limit_changed', line);
    if (!isUrgentLimit(perSecond, previous)) return;
    for (const listener of this.urgentListeners) listener(change);
  }

  /** All that this host knows. */
  listObservations(): LimitObservation[] {
    const news: LimitObservation[] = [];
    for (const {entry, limit} of this.declaringRunners.values()) {
      const {perSecond, ageMs} = limit;
      news.push({
        runner: getIncarnationId(entry),
        perSecond,
        ageMs: Math.ceil(ageMs),
      });
    }
    return news;
  }

  /**
   * Takes in what another host knows.
   *
   * @param sinceMs time since it told that at most, in ms; 0 if that is not known
   */
  applyPeerObservations(
    news: readonly LimitObservation[],
    sinceMs: number,
  ): void {
    if (news.length === 0) return;
    const asOf = this.options.clock.now() - sinceMs;
    const byStart = new Map(news.map(one => [one.runner, one]));
    for (const {entry, limit} of this.options.directory.all()) {
      const told = byStart.get(getIncarnationId(entry));
      if (told) limit.updateFromPeer(told.perSecond, asOf - told.ageMs);
    }
  }

  /** Whether a host that knows this much needs to hear at once what this one knows. */
  isUrgentFor(known: readonly LimitObservation[]): boolean {
    if (this.declaringRunners.size === 0) return false;
    const byStart = new Map(known.map(one => [one.runner, one]));
    return [...this.declaringRunners.values()].some(({entry, limit}) => {
      if (limit.perSecond === undefined) return false;
      const told = byStart.get(getIncarnationId(entry));
      if (told && told.ageMs <= limit.ageMs) return false;
      return isUrgentLimit(limit.perSecond, told?.perSecond);
    });
  }

  /** Forgets a runner that is gone. */
  removeRunner(id: string): void {
    this.declaringRunners.delete(id);
  }

  private track(id: string): void {
    const runner = this.options.directory.get(id);
    if (runner) this.declaringRunners.set(id, runner);
  }
}
