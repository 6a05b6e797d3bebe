import type {SeededRandom} from '@bayspool/kernel';
import type {RetrySimulation} from './retry_simulation.js';

/** Hosts of the simulations in which faults are injected. */
const HOSTS = 7;

/** Injects a fault at hosts while their runners fail. */
type Fault = (simulation: RetrySimulation, random: SeededRandom) => void;

/** Faults at hosts, by description. */
const RETRY_FAULTS: Readonly<Record<string, Fault>> = {
  'no other fault': simulation => simulation.run(1_000),
  'hosts restart one after the other': (simulation, random) => {
    simulation.run(random.next() * 600);
    simulation.restartHost(random.below(HOSTS));
  },
  'all hosts restart at once': (simulation, random) => {
    simulation.run(1_000 + random.next() * 9_000);
    for (let host = 0; host < HOSTS; host++) simulation.restartHost(host);
  },
  'all hosts restart three times in a row': (simulation, random) => {
    simulation.run(12_000);
    for (let time = 0; time < 3; time++) {
      for (let host = 0; host < HOSTS; host++) simulation.restartHost(host);
      simulation.run(1_500 + random.next() * 1_500);
    }
  },
  'all hosts restart and know no other host at first': (simulation, random) => {
    for (let host = 0; host < HOSTS; host++)
      simulation.restartHost(host, {heardOf: 1});
    simulation.run(random.next() * 9_000);
    for (let host = 0; host < HOSTS; host++)
      simulation.learnHosts(host, {heardOf: HOSTS});
    simulation.run(12_000);
  },
  'network partition between places': (simulation, random) => {
    const places = [3, 3, 3, 2, 2, 2, 2];
    places.forEach((size, host) =>
      simulation.learnHosts(host, {heardOf: size}),
    );
    simulation.run(random.next() * 20_000);
    places.forEach((_, host) => simulation.learnHosts(host, {heardOf: HOSTS}));
    simulation.run(random.next() * 5_000);
  },
  'callers move to other hosts and back': (simulation, random) => {
    simulation.run(random.next() * 8_000, [0, 1, 2]);
    simulation.run(random.next() * 8_000, [3, 4, 5, 6]);
  },
  'hosts pause': (simulation, random) => {
    simulation.run(random.next() * 2_000);
    simulation.pauseHost(random.below(HOSTS), random.next() * 4_000);
  },
  'all hosts pause together': (simulation, random) => {
    simulation.run(3_000 + random.next() * 8_000);
    const forMs = random.next() * 4_000;
    for (let host = 0; host < HOSTS; host++) simulation.pauseHost(host, forMs);
  },
};

export {HOSTS as FAULTY_HOSTS, RETRY_FAULTS};
