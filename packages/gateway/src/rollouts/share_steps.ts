/** Maps a share of sessions, 0 to 1, to the time since the order from which it is in effect, in ms. */
export type ShareSteps = Readonly<Record<string, number>>;
