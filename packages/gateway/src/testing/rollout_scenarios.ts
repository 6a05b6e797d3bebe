import {FaultyVersion} from './faulty_version.js';
import {RolloutSimulation} from './rollout_simulation.js';
import type {VersionModel} from './version_model.js';

/** Factor on the usual call rate, by time since the order in ms. */
type RateFactor = (elapsedMs: number) => number;

interface Scenario {
  readonly name: string;
  readonly durationMs: number;
  readonly simulation: RolloutSimulation;
}

interface Options {
  readonly version: () => VersionModel;
  /** How the old version answers; soundly if not given. */
  readonly old?: VersionModel;
  readonly callsPerSecond?: readonly number[];
  /** Seed of the first scenario; the others have the next ones. */
  readonly firstSeed?: number;
  readonly surge?: (durationMs: number) => RateFactor;
  /** Share of the responses of both versions that never arrive, by time since the order in ms. */
  readonly lostShare?: (elapsedMs: number) => number;
  /** The same for responses that are failures for a reason other than the version. */
  readonly failedShare?: (elapsedMs: number) => number;
}

/** Calls per second of the service, from a deployment at night to a large one. */
const RATES = [2, 5, 15, 80, 200];
/** Time limits of orders, in ms. */
const DURATIONS_MS = [16_000, 24_000];
/** Calls running at one runner above which a load-dependent fault appears: 25 over the eight runners of the version. */
const LOAD_THRESHOLD = 25 / 8;
/** Exposure that the users' platform allows a faulty version: a share of the service's calls, plus a fixed number. */
const ALLOWED_SHARE = 0.15;
const ALLOWED_EXTRA = 30;

/** Rollouts of a version at each call rate and time limit, with and without sessions. */
export class RolloutScenarios {
  /** Faulty versions by their fault. */
  static readonly faultyVersions: Readonly<Record<string, () => VersionModel>> =
    {
      fails: () => new FaultyVersion({faultShare: 0.35}),
      'fails seldom': () => new FaultyVersion({faultShare: 0.2}),
      'is slow': () => new FaultyVersion({faultShare: 0.35, slowdownFactor: 8}),
      'fails under load': () =>
        new FaultyVersion({
          faultShare: 0.4,
          isAffected: ({running}) => running > LOAD_THRESHOLD,
        }),
      'fails under a load that does not come': () =>
        new FaultyVersion({faultShare: 0.4, isAffected: () => false}),
      'fails on one route': () =>
        new FaultyVersion({
          faultShare: 0.35,
          isAffected: ({route}) => route === 'chat',
        }),
      'fails late': () =>
        new FaultyVersion({
          faultShare: 0.35,
          isAffected: ({elapsedMs}) => elapsedMs > 11_000,
        }),
    };

  /** Describes by how much the new version exceeded the allowed exposure; empty if it did not. */
  static describeExcess({name, simulation}: Scenario): string[] {
    const {all, fresh} = simulation.callCounts;
    const allowed = ALLOWED_SHARE * all + ALLOWED_EXTRA;
    if (fresh <= allowed) return [];
    return [`${name}: ${fresh} of ${all}, allowed ${Math.floor(allowed)}`];
  }

  constructor(private readonly options: Options) {}

  /** The scenario at each call rate and time limit, with and without sessions. */
  *all(): Generator<Scenario> {
    const {
      callsPerSecond = RATES,
      firstSeed = 1,
      surge,
      version,
      lostShare,
      failedShare,
      old,
    } = this.options;
    let seed = firstSeed;
    for (const rate of callsPerSecond) {
      for (const durationMs of DURATIONS_MS) {
        for (const hasSessions of [true, false]) {
          const simulation = new RolloutSimulation({
            seed: seed++,
            callsPerSecond: rate,
            durationMs,
            hasSessions,
            version: version(),
            old,
            surge: surge?.(durationMs),
            lostShare,
            failedShare,
          });
          const kind = hasSessions ? 'sessions' : 'single calls';
          const name = `${rate} calls per second, ${durationMs} ms, ${kind}`;
          yield {name, durationMs, simulation};
        }
      }
    }
  }
}
