import {init} from 'echarts';
import type {LossRow} from './loss_row.js';
import type {LossSummary} from './loss_summary.js';

/** Size of the chart, in pixels. */
const WIDTH = 1_100;
const HEIGHT = 420;
/** The segments of a bar, from the bottom up, with their colors. */
const SERIES: ReadonlyArray<
  readonly [name: string, color: string, valueOf: (row: LossRow) => number]
> = [
  ['in time', '#4a9c6d', row => row.inTime],
  ['late', '#e0b040', row => row.late],
  ['refused', '#8a6fb0', row => row.refused],
  ['failed', '#c0504d', row => row.failed],
  ['cut', '#7a3030', row => row.cut],
  ['left', '#9a9a9a', row => row.left],
];

/** Draws the outcomes of requests as an SVG chart, one bar per second. */
export function plotLosses({bySecond}: LossSummary): string {
  const chart = init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH,
    height: HEIGHT,
  });
  chart.setOption({
    animation: false,
    title: {text: 'Requests by the second in which they were taken'},
    legend: {top: 30},
    grid: {top: 70},
    xAxis: {
      type: 'category',
      name: 's',
      data: bySecond.map(({name}) => name),
    },
    yAxis: {type: 'value', name: 'requests'},
    series: SERIES.map(([name, color, valueOf]) => ({
      name,
      type: 'bar',
      stack: 'ends',
      itemStyle: {color},
      data: bySecond.map(valueOf),
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
