/** Shares of the sessions, 0 to 1, and the time since the order from which each of them holds, in ms. */
export type ShareSteps = Readonly<Record<string, number>>;
