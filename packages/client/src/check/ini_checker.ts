import type {FileChecker} from '@bayspool/kernel';
import {Problem} from '@bayspool/kernel';

/** Checks the settings of bayspoold with the daemon's own code. */
export class IniChecker implements FileChecker {
  readonly name = 'settings of bayspoold';

  accepts(path: string): boolean {
    return path.endsWith('.ini');
  }

  async findFaults(path: string): Promise<readonly string[]> {
    // Imported on demand: no other command needs the daemon.
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
