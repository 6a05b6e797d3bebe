import {z} from 'zod';

const versionRatings = z.strictObject({
  /** The stage of the version's lifecycle that the counts belong to; counts of different stages must not be summed. */
  stage: z.string().max(80),
  good: z.number().min(0),
  bad: z.number().min(0),
  /** Answers that were given but not rated yet. */
  open: z.number().min(0),
});

/** Counts of the ratings of a version's answers since its current stage began. */
type VersionRatings = z.output<typeof versionRatings>;
const VersionRatings = versionRatings;

export {VersionRatings};
