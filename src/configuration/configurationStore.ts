/**
 * Holds the configuration in force in this daemon, whose version never decreases.
 */
import { InventoryIndex } from '../inventory/inventoryIndex.js';
import type { ConfigurationRecord, Rules } from '../types/configuration.js';

/** A configuration record with the index of its inventory. */
export interface ActiveConfiguration {
  readonly record: ConfigurationRecord;
  readonly inventory: InventoryIndex;
  readonly rules: Rules;
}

export type ConfigurationListener = (active: ActiveConfiguration) => void;

export class ConfigurationStore {
  private active: ActiveConfiguration | undefined;
  private readonly listeners: ConfigurationListener[] = [];

  private constructor() {
    // Built by create.
  }

  static create(): ConfigurationStore {
    return new ConfigurationStore();
  }

  /** @returns the configuration in force, or nothing before the first */
  get current(): ActiveConfiguration | undefined {
    return this.active;
  }

  /** @returns the version in force, 0 before the first */
  get version(): number {
    return this.active?.record.version ?? 0;
  }

  /**
   * Puts a record in force if its version is higher than the one in force, and calls the listeners.
   *
   * @param record - a record with a valid configuration
   * @returns whether it came into force
   */
  apply(record: ConfigurationRecord): boolean {
    if (record.version <= this.version) {
      return false;
    }
    const { inventory, rules } = record.configuration;
    const index = InventoryIndex.create(inventory, this.active?.inventory);
    const active = { record, inventory: index, rules };
    this.active = active;
    for (const listener of this.listeners) {
      listener(active);
    }
    return true;
  }

  /** Calls a listener with every configuration that comes into force from now on. */
  onChange(listener: ConfigurationListener): void {
    this.listeners.push(listener);
  }
}
