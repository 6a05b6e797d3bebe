import type {InvalidEntryKind} from './invalid_entry_kind.js';

interface Options {
  readonly kind: InvalidEntryKind;
  /** What is wrong with the entry, and how to fix it. */
  readonly message: string;
}

/** A store entry that cannot be decoded, for example because another program wrote it. */
export class InvalidEntry extends Error {
  readonly kind: InvalidEntryKind;

  constructor({kind, message}: Options) {
    super(message);
    this.kind = kind;
  }
}
