import type {SessionVersions} from '@bayspool/decisions/calls';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {RolloutRegistry} from '../rollouts/rollout_registry.js';
import type {PrefixCacheIndex} from '../runners/prefix_cache_index.js';
import type {Runner} from '../runners/runner.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import {roundToHundredths} from '../observability/round_to_hundredths.js';
import type {CallProgress} from './call_progress.js';

interface Options {
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly rollouts: RolloutRegistry;
  readonly sessions: SessionVersions;
  readonly prefixes: PrefixCacheIndex;
  /** Age of the runner loads reported by other hosts, in ms. */
  readonly loadsAgeMs: () => number;
}

/** Records the choice of a runner: the session's version, the prompt parts that the runner will cache, log and metrics. */
export class ChoiceRecorder {
  constructor(private readonly options: Options) {}

  /** Records a choice before its attempt starts; `attempt` is the attempt's number. */
  record(progress: CallProgress, choice: RunnerChoice, attempt: number): void {
    const {log, metrics, rollouts, prefixes} = this.options;
    const {call, model} = progress;
    const {entry} = choice.runner;
    if (call.prompt && model !== undefined)
      prefixes.notePrompt(entry.id, model, call.prompt);
    // A run beside a silent one moves the session only if it delivers.
    if (!progress.hasSilentRun) this.recordSession(progress, choice.runner);
    const hasSession = call.session !== undefined;
    const {
      preference,
      isGranted,
      candidateCount = 0,
      matchingCount,
      selectedCount,
      untriedCount,
    } = progress.versionDecision ?? {};
    metrics.versionChoices.inc({
      service: entry.service,
      reason: preference?.reason,
      isGranted: String(isGranted),
    });
    log.write('runner_chosen', {
      request: call.id,
      attempt,
      runner: entry.id,
      service: entry.service,
      version: entry.version,
      versionReason: preference?.reason,
      versionGranted: isGranted,
      rememberedVersion: preference?.remembered,
      model,
      running: choice.runner.totalRunning,
      pendingMs: Math.round(choice.runner.totalPendingMs),
      loadsAgeMs: Math.round(this.options.loadsAgeMs()),
      waitMs: Math.round(choice.waitMs),
      workMs: call.prompt && Math.round(choice.workMs),
      unreadTokens: call.prompt && choice.unreadTokens,
      candidates: candidateCount,
      matching: matchingCount,
      selected: selectedCount,
      untried: untriedCount,
      slowness: roundToHundredths(choice.slowness ?? 1),
      slotMs: choice.held?.slotMs && Math.round(choice.held.slotMs),
      memoryTokens:
        choice.held?.memoryTokens && Math.round(choice.held.memoryTokens),
      runnerTokens: call.prompt && Math.round(choice.runner.totalMemoryTokens),
      ejected: choice.ejected,
      reason: choice.reason,
      rolloutShare: rollouts.get(call.service)?.shareOf({hasSession}),
    });
  }

  /** Moves the call's session to the version of the runner that has the call, unless the response has started. */
  recordSession({call, startedByVersion}: CallProgress, {entry}: Runner): void {
    if (call.session === undefined || startedByVersion !== undefined) return;
    this.options.sessions.set(call.session, entry.version);
  }
}
