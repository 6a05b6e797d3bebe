import type {VersionRatings} from './version_ratings.js';

/** Sums the ratings of a version. When stages differ, only the stage that most hosts report counts; ties go to the name that sorts last. */
export function sumVersionRatings(
  all: readonly VersionRatings[],
): VersionRatings | undefined {
  const stage = findMostReportedStage(all);
  if (stage === undefined) return undefined;
  const sum = {stage, good: 0, bad: 0, open: 0};
  for (const counts of all) {
    if (counts.stage !== stage) continue;
    sum.good += counts.good;
    sum.bad += counts.bad;
    sum.open += counts.open;
  }
  return sum;
}

function findMostReportedStage(
  all: readonly VersionRatings[],
): string | undefined {
  const hostsByStage = new Map<string, number>();
  for (const {stage} of all)
    hostsByStage.set(stage, (hostsByStage.get(stage) ?? 0) + 1);
  const ranked = [...hostsByStage].sort(
    (a, b) => b[1] - a[1] || b[0].localeCompare(a[0]),
  );
  return ranked[0]?.[0];
}
