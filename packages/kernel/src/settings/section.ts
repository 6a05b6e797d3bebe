import type {z} from 'zod';

/** Declares one section of the settings file and the fields it may hold. */
export interface Section<T = unknown> {
  /** The first word of the header: `log` for `[log]` or `[runner geo-1]`. */
  readonly name: string;
  /** Whether the header carries a second word that names one of several. */
  readonly named?: boolean;
  readonly shape: z.ZodType<T>;
}
