import type {FileChecker} from '@bayspool/kernel';
import {Problem} from '@bayspool/kernel';

/** Checks the settings of the product's own daemon, as the daemon itself does. */
export class IniChecker implements FileChecker {
  readonly name = 'settings of bayspoold';

  accepts(path: string): boolean {
    return path.endsWith('.ini');
  }

  async findFaults(path: string): Promise<readonly string[]> {
    // Loaded here only: the other commands do without the daemon.
    const {createKernel} = await import('@bayspool/daemon');
    try {
      createKernel(path);
      return [];
    } catch (error) {
      if (error instanceof Problem) return [error.message];
      throw error;
    }
  }
}
