import type {RunnerDirectory} from '../beliefs/runner_directory.js';
import type {LoadDigest} from '../peers/load_digest.js';
import type {Rollout} from '../rollouts/rollout.js';
import type {RolloutBook} from '../rollouts/rollout_book.js';
import type {PrefixBook} from '../runners/prefix_book.js';

interface Options {
  readonly directory: RunnerDirectory;
  readonly rollouts: RolloutBook;
  readonly prefixes: PrefixBook;
}

/** Weight of outcomes under which a runner without running requests is not told of. */
const MIN_TOLD_WEIGHT = 0.05;

/** Loads and outcomes at runners, as this host and the others tell them to each other. */
export class HostLoads {
  constructor(private readonly options: Options) {}

  /** What this host tells the others. */
  ownDigest(): LoadDigest {
    const runners: Record<string, [number, number, number, number]> = {};
    for (const {entry, ownLoad} of this.options.directory.all()) {
      const {running, pendingMs, ok, failed} = ownLoad;
      if (running === 0 && ok + failed < MIN_TOLD_WEIGHT) continue;
      runners[entry.id] = [
        running,
        Math.round(pendingMs),
        roundTenths(ok),
        roundTenths(failed),
      ];
    }
    const rollouts = Object.fromEntries(
      this.options.rollouts
        .all()
        .map(rollout => [
          rollout.order.service,
          rollout.digest(this.oldRunning(rollout)),
        ]),
    );
    return {runners, rollouts, parts: this.options.prefixes.news()};
  }

  /** Takes over what the other hosts told, summed over them. */
  takeRemote({runners, rollouts, parts = {}}: LoadDigest): void {
    this.options.prefixes.takeNews(parts);
    for (const runner of this.options.directory.all()) {
      const [running, pendingMs, ok, failed] = runners[runner.entry.id] ?? [
        0, 0, 0, 0,
      ];
      runner.others.take({running, pendingMs, ok, failed});
    }
    this.options.rollouts.noteRemote(rollouts);
  }

  /** Requests of this host that run on versions which the roll-out replaces. */
  oldRunning({order}: Rollout): number {
    return this.options.directory
      .all()
      .filter(
        ({entry}) =>
          entry.service === order.service && entry.version !== order.version,
      )
      .reduce((sum, runner) => sum + runner.ownLoad.running, 0);
  }
}

function roundTenths(value: number): number {
  return Math.round(value * 10) / 10;
}
