import {createHash} from 'node:crypto';
import {text} from 'node:stream/consumers';
import type {Command} from '../command.js';
import {ExitCode} from '../exit_code.js';

/** `bayspool hash-key`. */
export const hashKeyCommand: Command = {
  name: 'hash-key',
  summary: 'read a key from standard input and print the hash to configure',
  help: `
  Usage
    printf %s "$KEY" | bayspool hash-key
`,
  async run({print}) {
    const key = (await text(process.stdin)).replace(/\r?\n$/, '');
    print(createHash('sha256').update(key).digest('hex'));
    return ExitCode.OK;
  },
};
