import type {Configuration} from '@bayspool/decisions';

/** Returns the stage of a version that its ratings are counted for; it changes with each rollout step, halt and resumption. */
export function getVersionStage(
  config: Configuration,
  version: string,
): string {
  const step = config.versions[version]?.rollOut?.step;
  const revision = config.revisions[`version/${version}`] ?? -1;
  return step === undefined
    ? `settled ${revision}`
    : `step ${step} ${revision}`;
}
