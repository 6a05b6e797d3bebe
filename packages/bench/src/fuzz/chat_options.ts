/** A chat request of a caller. */
export interface ChatOptions {
  readonly model: string;
  /** The session that it goes on with, if any. */
  readonly session?: string;
  readonly prompt: string;
}
