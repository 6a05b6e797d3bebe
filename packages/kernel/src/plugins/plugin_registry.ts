import type {Plugin} from './plugin.js';

/** The plug-ins of this program; a plug-in's module adds itself when it is imported. */
class PluginRegistry {
  private readonly plugins = new Map<string, Plugin>();

  register(plugin: Plugin): void {
    this.plugins.set(plugin.name, plugin);
  }

  all(): Plugin[] {
    return [...this.plugins.values()];
  }
}

export const pluginRegistry = new PluginRegistry();
