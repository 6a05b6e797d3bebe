/** Status by which a runner reports that the request was meant for another one. */
export const MISDIRECTED = 421;
