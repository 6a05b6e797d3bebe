import type {Configuration} from '@bayspool/decisions';

/** Names the stage of a version's life that its evidence belongs to: it changes with each step, halt and resumption. */
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
