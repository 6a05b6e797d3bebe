import type {RunnerCrash} from '@bayspool/decisions/calls';
import {array, Codec} from 'purify-ts/Codec';
import {fieldCodecs} from '../records/field_codecs.js';

/** Stored form of a quarantined request: the crashes that it may have caused, from which each host decides by itself. */
interface QuarantineRecord {
  readonly ends: RunnerCrash[];
}

const {nonNegative, fraction} = fieldCodecs;

/** Codec of a quarantined request's record in the store. */
export const quarantineRecordCodec: Codec<QuarantineRecord> = Codec.interface({
  ends: array(Codec.interface({start: nonNegative, weight: fraction})),
});
