import type {RandomSource} from '@bayspool/kernel';
import type {Version} from '../configuration/version.js';

interface Options {
  readonly random: RandomSource;
  /** Whether the exposure budget allows this version another answer. */
  readonly hasExposureBudget: (version: Version) => boolean;
  /** Whether a reachable runner has the version loaded. */
  readonly isLoaded: (version: Version) => boolean;
}

/**
 * Picks one version per model: a version in rollout gets its current step's fraction of the requests,
 * and a stable version the rest. Versions that no runner has loaded are skipped unless there is no other.
 */
export function pickVersions(
  eligible: readonly Version[],
  options: Options,
): Version[] {
  const loaded = eligible.filter(options.isLoaded);
  const usable = loaded.length > 0 ? loaded : eligible;
  const models = [...new Set(usable.map(version => version.model))];
  return models
    .map(model =>
      pickVersionOfModel(
        usable.filter(version => version.model === model),
        options,
      ),
    )
    .filter(version => version !== undefined);
}

function pickVersionOfModel(
  versions: readonly Version[],
  options: Options,
): Version | undefined {
  const rollingOut = versions.filter(version => version.rollOut !== undefined);
  const stable = versions.filter(version => version.rollOut === undefined);
  for (const version of rollingOut) {
    const fraction = version.rollOut!.steps[version.rollOut!.step];
    const isChosen = options.random.next() < fraction || stable.length === 0;
    if (isChosen && options.hasExposureBudget(version)) return version;
  }
  return stable[options.random.below(stable.length)];
}
