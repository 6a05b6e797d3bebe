/** How a host knows of a runner's crash. */
export const CrashSource = {
  /** Another runner has been heard of since, so that the crash was not a loss of the host's own links. */
  CONFIRMED: 'confirmed',
  /** A connection of the host's own broke. */
  OWN: 'own',
  /** Another host told so, and could not confirm it. */
  TOLD: 'told',
} as const;
export type CrashSource = (typeof CrashSource)[keyof typeof CrashSource];
