import type {Container} from 'inversify';
import type {Section} from '../settings/section.js';
import type {Settings} from '../settings/settings.js';

/** A part of the system that brings bindings to the container when the settings choose it. */
export interface Plugin {
  readonly name: string;
  /** The sections of the settings file that this plug-in reads. */
  readonly sections: readonly Section[];
  /** Whether these settings choose the plug-in; one without this is always chosen. */
  enabled?(settings: Settings): boolean;
  /** Binds what the plug-in brings; nothing is started here. */
  install(container: Container, settings: Settings): void;
}
