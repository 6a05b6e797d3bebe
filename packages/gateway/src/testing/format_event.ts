/** Returns an event of a scripted stream, as sent on the wire. */
export function formatEvent(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}
