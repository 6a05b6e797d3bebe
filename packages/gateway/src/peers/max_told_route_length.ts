/** Longest name of a route of which hosts tell each other how long calls take, in characters. */
export const MAX_TOLD_ROUTE_LENGTH = 256;
