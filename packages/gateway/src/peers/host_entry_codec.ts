import {Codec} from 'purify-ts/Codec';
import {fieldCodecs} from '../records/field_codecs.js';
import type {HostEntry} from './host_entry.js';

const {name, address, nonNegative} = fieldCodecs;

/** Codec of host entries in the store. */
export const hostEntryCodec: Codec<HostEntry> = Codec.interface({
  name,
  place: name,
  address,
  // The capacity of the weakest hosts is rounded to 0.
  capacity: nonNegative,
});
