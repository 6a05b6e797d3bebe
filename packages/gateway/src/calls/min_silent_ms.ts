/** Time without anything from a runner after which a refused connect shows that it has ended, in ms. */
export const MIN_SILENT_MS = 200;
