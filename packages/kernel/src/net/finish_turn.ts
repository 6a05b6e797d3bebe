/** Waits until this turn of the event loop has read what it can of the connections. */
export function finishTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
