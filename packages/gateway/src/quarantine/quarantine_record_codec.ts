import type {RunnerCrash} from '@bayspool/decisions/calls';
import {array, Codec} from 'purify-ts/Codec';
import {fieldCodecs} from '../records/field_codecs.js';

/** A request that is held back, as it stands in the store: what speaks against it, so that each host judges itself. */
interface QuarantineRecord {
  readonly ends: RunnerCrash[];
}

const {nonNegative: amount, fraction: share} = fieldCodecs;

/** How a request that is held back stands in the store. */
export const quarantineRecordCodec: Codec<QuarantineRecord> = Codec.interface({
  ends: array(Codec.interface({start: amount, weight: share})),
});
