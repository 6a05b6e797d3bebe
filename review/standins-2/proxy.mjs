// A proxy between one host and the store. It can let channels that are open go silent: what either side sends on them is
// dropped, and they stay open. New channels work. It can also partition the host from the store.
import {connect, createServer} from 'node:net';

export class StoreProxy {
  channels = new Set();
  isCut = false;

  constructor(ip, target) {
    const [host, port] = target.split(':');
    this.ip = ip;
    this.server = createServer(near => {
      const far = connect(Number(port), host);
      const channel = {near, far, isSilent: false, topic: '', held: []};
      this.channels.add(channel);
      near.setNoDelay(true);
      far.setNoDelay(true);
      near.on('data', bytes => {
        const topic = /[?&]topic=([^& ]+)/.exec(bytes.toString('latin1'))?.[1];
        if (topic) channel.topic = topic;
        if (this.isCut) channel.held.push(() => far.write(bytes));
        else if (!channel.isSilent) far.write(bytes);
      });
      far.on('data', bytes => {
        if (this.isCut) channel.held.push(() => near.write(bytes));
        else if (!channel.isSilent) near.write(bytes);
      });
      const end = () => {
        this.channels.delete(channel);
        near.destroy();
        far.destroy();
      };
      near.on('close', end);
      near.on('error', end);
      far.on('error', () => {
        if (!channel.isSilent) end();
      });
      far.on('close', () => {
        if (!channel.isSilent) end();
      });
    });
  }

  get address() {
    return `${this.ip}:${this.server.address().port}`;
  }

  start() {
    return new Promise(done => this.server.listen(0, this.ip, done));
  }

  stop() {
    this.server.close();
    for (const {near, far} of this.channels) {
      near.destroy();
      far.destroy();
    }
  }

  /** Partitions the host from the store: nothing passes, and nobody is told. */
  cut() {
    this.isCut = true;
  }

  /** Ends the partition: what was sent meanwhile arrives late. */
  heal() {
    this.isCut = false;
    for (const {held} of this.channels)
      for (const deliver of held.splice(0)) deliver();
  }

  /** Lets the channels whose last call was for a topic go silent. Returns how many of how many open ones there were. */
  silence(topic) {
    const chosen = [...this.channels].filter(c => c.topic === topic);
    for (const channel of chosen) channel.isSilent = true;
    return {silent: chosen.length, open: this.channels.size};
  }
}
