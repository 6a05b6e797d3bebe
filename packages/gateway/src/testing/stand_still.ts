/** Blocks this process for some time, in ms. */
export function standStill(forMs: number): void {
  const until = performance.now() + forMs;
  while (performance.now() < until);
}
