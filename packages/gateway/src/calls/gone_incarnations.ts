/** Most incarnations that are remembered; the oldest are forgotten first. */
const MAX_INCARNATIONS = 4_096;

/** Remembers the incarnations of runners whose entry went or that count as ended. */
export class GoneIncarnations {
  /** Whether each counts as ended at this host, the oldest first. */
  private readonly ended = new Map<string, boolean>();

  has(id: string): boolean {
    return this.ended.has(id);
  }

  /** Remembers an incarnation; one that has ended stays so until it is forgotten. */
  remember(id: string, hasEnded: boolean): void {
    const hadEnded = this.forget(id);
    this.ended.set(id, hadEnded || hasEnded);
    if (this.ended.size <= MAX_INCARNATIONS) return;
    const [oldest] = this.ended.keys();
    this.ended.delete(oldest);
  }

  /** Forgets an incarnation. @returns whether it counted as ended */
  forget(id: string): boolean {
    const hadEnded = this.ended.get(id) ?? false;
    this.ended.delete(id);
    return hadEnded;
  }
}
