import type {RandomSource} from '@bayspool/kernel';
import type {Version} from '../configuration/version.js';

interface Options {
  readonly random: RandomSource;
  /** Whether the exposure budget lets this version take another answer. */
  readonly hasExposureBudget: (version: Version) => boolean;
  /** Whether a runner in reach has it loaded. */
  readonly isLoaded: (version: Version) => boolean;
}

/**
 * Chooses one version a model: one that rolls out gets its step's part of the work,
 * and a stable one the rest. Versions that no runner carries are left out as long as
 * there is another.
 */
export function pickVersions(
  eligible: readonly Version[],
  options: Options,
): Version[] {
  const carried = eligible.filter(options.isLoaded);
  const usable = carried.length > 0 ? carried : eligible;
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
  const rolling = versions.filter(version => version.rollOut !== undefined);
  const settled = versions.filter(version => version.rollOut === undefined);
  for (const version of rolling) {
    const part = version.rollOut!.steps[version.rollOut!.step];
    const chosen = options.random.next() < part || settled.length === 0;
    if (chosen && options.hasExposureBudget(version)) return version;
  }
  return settled[options.random.below(settled.length)];
}
