import type {Told} from './told.js';

/** What a caller was told, without the time. */
export type ToldAnswer = Omit<NonNullable<Told['answer']>, 'at'>;
