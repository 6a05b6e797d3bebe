import {Codec} from 'purify-ts/Codec';
import {fieldCodecs} from '../records/field_codecs.js';
import type {HostEntry} from './host_entry.js';

const {name, address, positive} = fieldCodecs;

/** How a host's entry stands in the store. */
export const hostEntryCodec: Codec<HostEntry> = Codec.interface({
  name,
  place: name,
  address,
  capacity: positive,
});
