import {z} from 'zod';

const versionRatings = z.strictObject({
  /** The stage of the version's life that the counts belong to; counts of other stages do not add up with them. */
  stage: z.string().max(80),
  good: z.number().min(0),
  bad: z.number().min(0),
  /** Answers out without a rating. */
  open: z.number().min(0),
});

/** Ratings of one version's answers, counted since its stage began. */
type VersionRatings = z.output<typeof versionRatings>;
const VersionRatings = versionRatings;

export {VersionRatings};
