/** What differs between two configurations in one entry, or in one of its fields. */
export interface ConfigurationDifference {
  readonly change: 'added' | 'removed' | 'changed';
  /** The entry, such as `route "search"`. */
  readonly subject: string;
  /** The changed field, under the platform's name; absent if the whole entry was added or removed. */
  readonly field?: string;
  /** Values as they can be written in JSON; undefined if the field is not set. Of API keys only the numbers. */
  readonly before?: unknown;
  readonly after?: unknown;
}
