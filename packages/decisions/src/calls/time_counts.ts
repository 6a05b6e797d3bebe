/** Numbers of responses by relative time: maps the index of a time class, which grows with the time, to a number. */
export type TimeCounts = Readonly<Record<string, number>>;
