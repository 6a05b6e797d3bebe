import {Kernel, loadSettings, pluginRegistry} from '@bayspool/kernel';
import './plugins.js';

const PROGRAM = 'bayspoold';

/** Loads and validates a settings file and wires the daemon without starting it. Throws a settings problem. */
export function createKernel(file: string): Kernel {
  return new Kernel({
    settings: loadSettings(file),
    plugins: pluginRegistry.all(),
    program: PROGRAM,
  });
}
