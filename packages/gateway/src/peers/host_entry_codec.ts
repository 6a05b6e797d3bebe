import {Codec, optional} from 'purify-ts/Codec';
import {fieldCodecs} from '../records/field_codecs.js';
import type {HostEntry} from './host_entry.js';

const {name, address, nonNegative} = fieldCodecs;

const entryCodec = Codec.interface({
  name,
  place: name,
  address,
  // Hosts of an earlier version take no relayed calls.
  relayAddress: optional(address),
  // The capacity of the weakest hosts is rounded to 0.
  capacity: nonNegative,
});

/** Codec of host entries in the store. */
export const hostEntryCodec: Codec<HostEntry> = {
  ...entryCodec,
  encode: <T>(entry: HostEntry) =>
    entryCodec.encode<T>({relayAddress: undefined, ...entry}),
};
