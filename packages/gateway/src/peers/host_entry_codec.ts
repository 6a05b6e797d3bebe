import {Codec} from 'purify-ts/Codec';
import {fieldCodecs} from '../records/field_codecs.js';
import type {HostEntry} from './host_entry.js';

const {name, address, amount} = fieldCodecs;

/** How a host's entry stands in the store. */
export const hostEntryCodec: Codec<HostEntry> = Codec.interface({
  name,
  place: name,
  address,
  // The weakest hosts round to 0.
  capacity: amount,
});
