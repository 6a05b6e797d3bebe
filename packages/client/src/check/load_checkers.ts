import type {FileChecker} from '@bayspool/kernel';
import {IniChecker} from './ini_checker.js';

/** Loads the checkers of all kinds of files. The platform's are imported on demand, when a file is checked. */
export async function loadCheckers(): Promise<readonly FileChecker[]> {
  const {DeployFileChecker, HostSettingsChecker} =
    await import('@bayspool/platform/checks');
  return [new IniChecker(), new DeployFileChecker(), new HostSettingsChecker()];
}
