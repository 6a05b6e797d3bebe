/**
 * Time constant of the measured demand, in ms: short, because a queue of this length is built up before a rise is seen in
 * full, and long enough that some calls arrive at each host.
 */
export const DEMAND_WINDOW_MS = 800;
