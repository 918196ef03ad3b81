//! Line plots as SVG.

use std::fmt::Write as _;

const WIDTH: f64 = 860.0;
const HEIGHT: f64 = 170.0;
const MARGIN: f64 = 34.0;
const GRID_LINES: u32 = 4;
/// Maximum number of points per line; more are averaged.
const MAX_POINTS: usize = 430;

/// A line of a plot.
pub struct Line {
    pub name: &'static str,
    pub colour: &'static str,
    pub values: Vec<f64>,
}

/// Draws lines over a time axis of `hours` hours and a value axis from 0 to `top`.
pub fn plot(title: &str, lines: &[Line], hours: f64, top: f64) -> String {
    let mut svg = format!(
        "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" aria-label=\"{title}\">\n\
         <text class=\"title\" x=\"{MARGIN}\" y=\"14\">{title}</text>\n"
    );
    grid(&mut svg, hours, top);
    for (index, line) in (0..).zip(lines) {
        curve(&mut svg, line, top);
        legend(&mut svg, line, index);
    }
    svg.push_str("</svg>\n");
    svg
}

fn grid(svg: &mut String, hours: f64, top: f64) {
    for line in 0..=GRID_LINES {
        let part = f64::from(line) / f64::from(GRID_LINES);
        let y = height(part);
        let x = MARGIN + part * (WIDTH - 2.0 * MARGIN);
        push(
            svg,
            &format!(
                "<line class=\"grid\" x1=\"{MARGIN}\" x2=\"{:.0}\" y1=\"{y:.1}\" y2=\"{y:.1}\"/>\
             <text x=\"4\" y=\"{y:.1}\">{:.0}</text><text x=\"{x:.0}\" y=\"{:.0}\">{:.1} h</text>\n",
                WIDTH - MARGIN,
                part * top,
                HEIGHT - 4.0,
                part * hours,
            ),
        );
    }
}

fn curve(svg: &mut String, line: &Line, top: f64) {
    let width = line.values.len().div_ceil(MAX_POINTS).max(1);
    let means: Vec<f64> = line.values.chunks(width).map(mean).collect();
    let last = means.len().saturating_sub(1).max(1);
    let mut points = String::new();
    for (index, value) in means.iter().enumerate() {
        let x = MARGIN + number(index) / number(last) * (WIDTH - 2.0 * MARGIN);
        push(&mut points, &format!("{x:.1},{:.1} ", height((value / top).min(1.0))));
    }
    push(
        svg,
        &format!("<polyline fill=\"none\" stroke=\"{}\" points=\"{points}\"/>\n", line.colour),
    );
}

fn legend(svg: &mut String, line: &Line, index: u32) {
    let x = 420.0 + 110.0 * f64::from(index);
    push(svg, &format!("<text x=\"{x}\" y=\"14\" fill=\"{}\">{}</text>\n", line.colour, line.name));
}

fn height(part: f64) -> f64 {
    HEIGHT - MARGIN / 2.0 - part * (HEIGHT - 1.5 * MARGIN)
}

fn push(text: &mut String, part: &str) {
    write!(text, "{part}").expect("invariant: a string can be written to");
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / number(values.len())
}

#[expect(clippy::cast_precision_loss, reason = "a trace has few steps")]
pub fn number(count: usize) -> f64 {
    count as f64
}
