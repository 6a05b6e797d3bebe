import {createHash} from 'node:crypto';

const WORDS = [
  'core',
  'grey',
  'fine',
  'grained',
  'sandstone',
  'with',
  'thin',
  'shale',
  'bands',
  'minor',
  'pyrite',
  'veins',
  'box',
  'kit',
  'contains',
  'milk',
  'nuts',
  'soy',
  'swap',
  'for',
  'oats',
  'interval',
  'weathered',
  'massive',
];

/** The text of the token at `index`: the same on every engine for the same version and prompt, so that streams can resume. */
export function answerWord(seed: string, index: number): string {
  const digest = createHash('md5').update(`${seed}/${index}`).digest();
  return `${WORDS[digest[0] % WORDS.length]} `;
}
