import {randomUUID} from 'node:crypto';
import {
  DriftDetector,
  GateVerdict,
  PassRateEstimate,
  planIntent,
  selectByRendezvousHash,
  type VersionGate,
  type Intent,
  type Membership,
  type Version,
  type VersionRatings,
} from '@bayspool/decisions';
import {
  jitter,
  sleep,
  type Clock,
  type Logger,
  type Metrics,
  type RandomSource,
  type Service,
} from '@bayspool/kernel';
import type {ConfigurationStore} from '../configuration/configuration_store.js';
import type {IntentSubmitter} from '../configuration/intent_submitter.js';
import {getVersionStage} from './get_version_stage.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly self: string;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  readonly submitter: IntentSubmitter;
  readonly rolloutGate: VersionGate;
  /** Told when this host halted a version. */
  readonly onHalt: () => void;
  /** How often the evidence is looked at, in ms. */
  readonly intervalMs: number;
  /** How long a step lasts at least, in ms. */
  readonly minStepMs: number;
  /** Whether stable versions are watched for turning bad. */
  readonly monitorsStable: boolean;
}

interface VersionWatch {
  readonly stage: string;
  readonly since: number;
  readonly drift: DriftDetector;
  readonly longTerm: PassRateEstimate;
  good: number;
  bad: number;
}

const FIRST_SUBMITTERS = 2;
const FALLBACK_DELAY_MS = 5_000;
const LONG_TERM_HALF_LIFE_MS = 6 * 3_600_000;
const MIN_LONG_TERM_RATINGS = 50;
const PLAN_TTL_MS = 60_000;

/**
 * Judges versions on the evidence of all hosts. A halt takes force here and, through
 * the heartbeats, at the other hosts within seconds, and is filed for the log;
 * only an operator's intent lifts it.
 */
export class VersionMonitor implements Service {
  readonly name = 'roll-out gate';
  private readonly stopping = new AbortController();
  private readonly watches = new Map<string, VersionWatch>();
  /** Halted versions, by the revision at which they were. */
  private readonly haltedRevisions = new Map<string, number>();
  private readonly pendingSubmissions = new Set<string>();
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly options: Options) {
    options.metrics.observe(
      'versions_suspect',
      'Versions that this host holds suspect.',
      () => this.listSuspects().length,
    );
  }

  /** Versions that this host halted and the log does not show as halted yet. */
  listSuspects(): string[] {
    const {revisions} = this.options.store.current;
    return [...this.haltedRevisions]
      .filter(
        ([version, revision]) =>
          (revisions[`version/${version}`] ?? -1) === revision,
      )
      .map(([version]) => version);
  }

  async start(): Promise<void> {
    this.loop = this.evaluateRepeatedly();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  private async evaluateRepeatedly(): Promise<void> {
    const {clock, random, intervalMs} = this.options;
    while (!this.stopping.signal.aborted) {
      await sleep(clock, jitter(random, intervalMs), this.stopping.signal);
      if (!this.stopping.signal.aborted) this.evaluateAll();
    }
  }

  private evaluateAll(): void {
    for (const version of Object.values(this.options.store.current.versions)) {
      const evidence = this.options.membership.sumRatings(version.id);
      if (
        evidence &&
        evidence.stage ===
          getVersionStage(this.options.store.current, version.id)
      )
        this.evaluate(version, evidence);
    }
  }

  private evaluate(version: Version, evidence: VersionRatings): void {
    if (
      version.suspect !== undefined ||
      this.haltedRevisions.get(version.id) === this.getRevision(version)
    )
      return;
    const watch = this.getOrCreateWatch(version.id, evidence.stage);
    if (version.rollOut) this.evaluateRolloutStep(version, evidence, watch);
    else if (this.options.monitorsStable)
      this.evaluateDrift(version, evidence, watch);
  }

  private evaluateRolloutStep(
    version: Version,
    evidence: VersionRatings,
    watch: VersionWatch,
  ): void {
    const verdict = this.options.rolloutGate.evaluate(
      evidence,
      this.computeAcceptableBadRate(version),
    );
    if (verdict === GateVerdict.HALT) this.haltVersion(version, evidence);
    const stepIsOver =
      this.options.clock.now() - watch.since >= this.options.minStepMs;
    if (verdict === GateVerdict.PASS && stepIsOver) {
      this.submitOnce({
        kind: 'advance-roll-out',
        version: version.id,
        step: version.rollOut!.step + 1,
      });
    }
  }

  private evaluateDrift(
    version: Version,
    evidence: VersionRatings,
    watch: VersionWatch,
  ): void {
    const good = Math.max(0, evidence.good - watch.good);
    const bad = Math.max(0, evidence.bad - watch.bad);
    watch.good = evidence.good;
    watch.bad = evidence.bad;
    if (good + bad === 0) return;
    const turnedBad = watch.drift.addRatings(
      good,
      bad,
      this.computeAcceptableBadRate(version),
    );
    if (turnedBad) this.haltVersion(version, evidence);
    const now = this.options.clock.now();
    for (let count = 0; count < good; count++)
      watch.longTerm.addRating(true, now);
    for (let count = 0; count < bad; count++)
      watch.longTerm.addRating(false, now);
  }

  /** The rate of bad answers that is accepted: what the model's stable version shows, else what the tasks ask for. */
  private computeAcceptableBadRate(version: Version): number {
    const {versions, workspaces} = this.options.store.current;
    const stable = Object.values(versions).find(
      other => other.model === version.model && other.state === 'stable',
    );
    const watch = stable && this.watches.get(stable.id);
    if (watch && watch.longTerm.effectiveRatings() >= MIN_LONG_TERM_RATINGS)
      return 1 - watch.longTerm.mean(this.options.clock.now());
    const targets = Object.values(workspaces).flatMap(workspace =>
      Object.values(workspace.tasks)
        .filter(task => task.versions.includes(version.id))
        .map(task => task.quality),
    );
    return 1 - Math.min(1, ...targets);
  }

  private haltVersion(version: Version, evidence: VersionRatings): void {
    const {logger} = this.options;
    const text = `${evidence.bad} of ${evidence.good + evidence.bad} answers were rated bad`;
    this.haltedRevisions.set(version.id, this.getRevision(version));
    this.options.onHalt();
    logger.warn('version halted', {version: version.id, evidence: text});
    this.submitOnce({
      kind: 'halt-version',
      version: version.id,
      evidence: text,
    });
  }

  /** Files a decision: two hosts at once, the others only if those did not. */
  private submitOnce(intent: Intent & {version: string}): void {
    const key = `${intent.kind} ${intent.version} ${this.options.store.current.revisions[`version/${intent.version}`]}`;
    if (this.pendingSubmissions.has(key)) return;
    this.pendingSubmissions.add(key);
    void this.submitAfterDelay(intent, key).finally(() =>
      this.pendingSubmissions.delete(key),
    );
  }

  private async submitAfterDelay(
    intent: Intent & {version: string},
    key: string,
  ): Promise<void> {
    const {
      clock,
      random,
      store,
      submitter: filer,
      membership,
      self,
      logger,
    } = this.options;
    const first = selectByRendezvousHash(
      membership.listAllHosts().map(host => host.id),
      key,
      FIRST_SUBMITTERS,
    );
    const delay = first.includes(self)
      ? first.indexOf(self) * (FALLBACK_DELAY_MS / 10)
      : FALLBACK_DELAY_MS * (1 + random.next());
    const revision = store.current.revisions[`version/${intent.version}`];
    await sleep(clock, delay, this.stopping.signal);
    if (
      this.stopping.signal.aborted ||
      store.current.revisions[`version/${intent.version}`] !== revision
    )
      return;
    const plan = planIntent({
      config: store.current,
      intent,
      id: randomUUID(),
      lapsesAt: clock.wall() + PLAN_TTL_MS,
    });
    if (plan.isLeft()) return;
    const verdict = await filer.submit(plan.unsafeCoerce(), `host ${self}`);
    logger.info('decision filed', {
      kind: intent.kind,
      version: intent.version,
      accepted: verdict?.accepted ?? 'unknown',
    });
  }

  private getOrCreateWatch(version: string, stage: string): VersionWatch {
    const known = this.watches.get(version);
    if (known?.stage === stage) return known;
    const longTerm =
      known?.longTerm ??
      new PassRateEstimate({halfLifeMs: LONG_TERM_HALF_LIFE_MS});
    const watch = {
      stage,
      since: this.options.clock.now(),
      drift: new DriftDetector(),
      longTerm,
      good: 0,
      bad: 0,
    };
    this.watches.set(version, watch);
    return watch;
  }

  private getRevision(version: Version): number {
    return this.options.store.current.revisions[`version/${version.id}`] ?? -1;
  }
}
